"""A process's figures over HTTP, at a port that is the same wherever the process runs."""

from __future__ import annotations

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from pinward.annunciator import ring
from pinward.common.client_room import ClientRoom
from pinward.common.metrics import CONTENT_TYPE, PATH, Metrics
from pinward.common.small_listener import SmallListener

PORT = 9464  # where exporters of Prometheus listen by custom; deploy/system.toml names it too


async def listen(metrics: Metrics, ip: str, room: ClientRoom | None = None) -> SmallListener | None:
    """Serves the figures at `ip`; None where the port cannot be had, which ends nothing else."""

    async def answer(request: BaseRequest) -> Response:
        if request.path != PATH:
            return Response(status=404)
        return Response(text=metrics.render(), content_type=CONTENT_TYPE)

    listener = SmallListener(answer, (ip, PORT), room or ClientRoom())
    try:
        await listener.open()
    except OSError as why:
        ring(105, port=PORT, why=why)
        return None
    return listener
