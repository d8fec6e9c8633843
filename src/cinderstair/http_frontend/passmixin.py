"""Sending one job over one channel, and what its answer proves."""

import json
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from ..runtime.fault import Fault
from ..runtime.httpjob import HttpJob
from ..runtime.kind import Kind
from ..runtime.net import Channel
from .job import Job

# why: these words of a backend say that it has not run the job, so that it may be sent again elsewhere
NOT_RUN = frozenset(["term", "notLeading", "emptying", "full"])


@dataclass(frozen=True, kw_only=True)
class Reply:
    """What a backend said."""

    ran: bool
    reason: str
    why: str
    rows: list[Any]
    term: int
    position: int
    wrote: bool


def read_reply(*, value: Any) -> Reply:
    return Reply(
        ran=bool(value["ok"]),
        reason=str(value.get("reason", "")),
        why=str(value.get("why", "")),
        rows=list(value.get("rows", [])),
        term=int(value["term"]),
        position=int(value["position"]),
        wrote=bool(value.get("wrote", False)),
    )


class PassMixin:
    """Gives the text of a job to a backend unchanged, with the session's values beside it."""

    async def pass_to(
        self, *, channel: Channel, job: Job, step: str, term: int, wait_us: int
    ) -> Result[Reply, Fault]:
        prepared = job.body.get("prepared")
        body: dict[str, Any] = {
            "step": step,
            "kind": job.kind,
            "term": term,
            "database": job.bound.database,
            "values": job.bound.values,
        }
        if job.verb == "statement":
            body["text"] = job.bound.prepared[prepared] if prepared is not None else job.body["text"]
            body["params"] = job.body.get("params", [])
        http = HttpJob(method="POST", path="/run", body=json.dumps(body, separators=(",", ":")).encode())
        result = await channel.pass_job(job=http, wait_us=max(1, wait_us))
        if result.is_error():
            return Error(result.error)
        try:
            return Ok(read_reply(value=result.ok.json()))
        except (ValueError, KeyError, TypeError, AttributeError):
            return Error(Fault(kind=Kind.wireUnsure, why="the backend's answer can't be read"))
