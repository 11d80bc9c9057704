"""A process's figures over HTTP, at a port that is the same wherever the process runs."""

from __future__ import annotations

import asyncio

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server

from pinward.annunciator import ring
from pinward.common.metrics import CONTENT_TYPE, PATH, Metrics

PORT = 9464  # where exporters of Prometheus listen by custom; deploy/system.toml names it too


async def listen(metrics: Metrics, ip: str) -> asyncio.Server | None:
    """Serves the figures at `ip`; None where the port cannot be had, which ends nothing else."""

    async def answer(request: BaseRequest) -> Response:
        if request.path != PATH:
            return Response(status=404)
        return Response(text=metrics.render(), content_type=CONTENT_TYPE)

    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(Server(answer, access_log=None), ip, PORT)
    except OSError as why:
        ring(105, port=PORT, why=why)
        return None
