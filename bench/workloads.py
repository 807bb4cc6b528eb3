"""Workloads that the benchmarks replay: the firms' present sites, and larger fleets."""

from attrs import evolve

from bench.trace import Workload

HSINCHU = Workload(name="hsinchu", engines=6, views=7, chats=2000, duration_s=1200.0)
ALTAMAHA = Workload(
    name="altamaha",
    engines=5,
    views=7,
    chats=3000,
    duration_s=1200.0,
    prefix_tokens=800.0,
    answer_tokens=150.0,
    cached_chats=900.0,
    seed=9,
)
HSINCHU_FLAPPING = evolve(HSINCHU, name="hsinchu, flapping", flap_every_s=30.0)
HSINCHU_BATCH = evolve(HSINCHU, name="hsinchu, 30% batch", batch_share=0.3)
HSINCHU_LOW_LOAD = evolve(HSINCHU, name="hsinchu, low load", concurrency=3.0)
SMALL_FLEETS = (HSINCHU, ALTAMAHA, HSINCHU_FLAPPING, HSINCHU_BATCH, HSINCHU_LOW_LOAD)

HUNDRED = Workload(
    name="100 engines",
    engines=100,
    views=17,
    chats=15_000,
    duration_s=90.0,
    cached_chats=200.0,
    replace_every_s=10.0,
    pools=17,
)
THOUSAND = Workload(
    name="1,000 engines",
    engines=1000,
    views=170,
    chats=60_000,
    duration_s=30.0,
    cached_chats=80.0,
    replace_every_s=5.0,
    pools=170,
)
TEN_THOUSAND = Workload(
    name="10,000 engines",
    engines=10_000,
    views=1700,
    chats=300_000,
    duration_s=9.0,
    cached_chats=40.0,
    replace_every_s=3.0,
    pools=1700,
)
