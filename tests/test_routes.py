from testtools import TestCase

from cherrylane.routing.routes import RouteTable, ServiceShare, choose_share
from tests.wire import make_configuration, make_route


class RouteTableTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = RouteTable(
            make_configuration(
                make_route(name="short", path_prefix="/a/"),
                make_route(name="long", path_prefix="/a/b/"),
                make_route(name="root", host="other.example", path_prefix="/"),
                keys="k1 k2",
            )
        )

    def find(self, host: str, path: str) -> str:
        route = self.table.find(host, path)
        return "" if route is None else route.name

    def test_longest_matching_prefix_is_chosen(self) -> None:
        self.assertEqual("long", self.find("desk.example", "/a/b/c"))
        self.assertEqual("short", self.find("desk.example", "/a/bc"))
        self.assertEqual("short", self.find("desk.example", "/a/"))

    def test_prefix_matches_only_up_to_its_final_slash(self) -> None:
        for path in ("/a", "/ab/", "/", ""):
            self.assertEqual("", self.find("desk.example", path))

    def test_host_is_matched_without_case_and_port(self) -> None:
        self.assertEqual("root", self.find("OTHER.example:8080", "/anything"))
        self.assertEqual("", self.find("unknown.example", "/a/"))

    def test_account_is_found_by_each_of_its_keys(self) -> None:
        account = self.table.find_account("k2")
        assert account is not None
        self.assertEqual("union", account.name)
        self.assertIsNone(self.table.find_account(""))


class ChooseShareTest(TestCase):
    def test_requests_are_split_by_weight(self) -> None:
        shares = (ServiceShare("a", 90), ServiceShare("b", 10), ServiceShare("none", 0))
        chosen = [choose_share(shares, position / 1000) for position in range(1000)]
        self.assertEqual(900, chosen.count("a"))
        self.assertEqual(100, chosen.count("b"))
