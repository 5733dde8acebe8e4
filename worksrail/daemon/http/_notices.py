"""Reads the availability that upstreams state in the heads of their answers."""

from tornado.httputil import HTTPHeaders

from worksrail.core.availability import AvailabilityNotice, read_notice
from worksrail.daemon import _clock


def notice_of(
    status: int,
    headers: HTTPHeaders,
    leaving_header: str,
) -> AvailabilityNotice:
    """Return the notice in the head of an answer.

    ``Retry-After`` is standard HTTP; the header of leaving upstreams is named
    by the platform.
    """
    return read_notice(
        status,
        headers.get_list(leaving_header),
        headers.get_list('Retry-After'),
        headers.get('Date', ''),
        _clock.wall(),
    )
