"""Bodies that were cut off and filled up by the next answer on their connection.

An upstream that stops within a body, and then answers the same request once more, completes the
body by its length, its chunk or the end of the connection.
"""

import re

STATUS_LINE = re.compile(rb"HTTP/1\.\d \d{3}[ \r\n]")


def contains_answer(data: bytes, request_id: str, *, is_surplus: bool = False) -> bool:
    """Return whether ``data`` of a body contains the begin of another answer to its request.

    That is a status line with the request's id behind it. ``is_surplus`` says that bytes are left
    over behind the body: then the status line is enough, since the id may be among them.

    Example::

        contains_answer(b"dHTTP/1.1 500 X\\r\\nId: a1\\r\\n\\r\\noops", "a1")  # True
        contains_answer(b"it answered HTTP/1.1 500 Oops", "a1")  # False
    """
    status_line = STATUS_LINE.search(data)
    if status_line is None:
        return False
    return is_surplus or data.find(request_id.encode("latin-1"), status_line.end()) >= 0
