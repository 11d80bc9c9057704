"""What an instance answers to commands on its control socket: one line of JSON, and one back."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from pinward.lead.desk import ANSWER_S
from pinward.lead.ledger import Decision
from pinward.lead.teller import read_line
from pinward.lead.terms import Members, Role
from pinward.net.ring import Link

if TYPE_CHECKING:
    from pinward.lead.instance import Instance

CONTROL_MOST = 16  # commands at a time
COMMAND_MOST = 64 * 1024  # bytes of a command
SHOWN_MOST = 200  # entries of the log that one command shows


def control_socket(path: Path) -> socket.socket:
    """Listens at a path in a folder that this process alone holds."""
    path.unlink(missing_ok=True)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.bind(str(path))
    path.chmod(0o600)
    sock.listen(CONTROL_MOST)
    sock.setblocking(False)
    return sock


class Commands:
    def __init__(self, host: Instance) -> None:
        self.host = host

    def serve_command(self, link: Link) -> None:
        text = read_line(self.host.tasks, link, self.host.tasks.now() + ANSWER_S, COMMAND_MOST)
        if text is None:
            return
        try:
            asked = orjson.loads(text)
            answer = getattr(self, f"do_{asked['do']}")(asked)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            answer = {"error": f"no command: {fault}"}
        link.send(orjson.dumps(answer, default=str) + b"\n", self.host.tasks.now() + ANSWER_S)

    def do_status(self, _: Any) -> dict[str, Any]:
        core, now = self.host.core, self.host.tasks.now()
        leads = core.role is Role.LEADING
        return {
            "name": self.host.office.name, "installation": self.host.office.installation,
            "role": core.role.name.lower(), "epoch": core.epoch, "leader": core.leader,
            "acts": core.may_act(now), "lease_s": round(max(0.0, core.lease_until - now), 3),
            "last": core.last, "committed": core.committed,
            "base": core.base.index, "place": self.host.ledger.place,
            "release": self.host.desk.news().split(" "),
            "disk_bytes": self.host.store.size, "saves": self.host.store.saves,
            "doubted": sorted(core.doubted),
            "peers": {
                name: {
                    "up": sender.up, "why": sender.why, "dropped": sender.dropped,
                    "match": core.peers[name].match if leads and name in core.peers else None,
                }
                for name, sender in self.host.peers.senders.items()
            },
            "appliers": {
                t.name: {"state": t.state.name.lower(), "place": t.place} for t in self.host.tellers
            },
            "refusals": self.host.peers.refusals,
        }  # fmt: skip

    def do_members(self, asked: Any) -> dict[str, Any]:
        """Shows the members, or adds or removes one."""
        members, where = self.host.core.members, dict(self.host.core.members.where)
        add, remove = asked.get("add"), asked.get("remove")
        if add is None and remove is None:
            return {**members.plain(), "changing": self.host.core.changing}
        if add is not None:
            name, place = add
            if name in where:
                return {"error": f"{name} is a member already"}
            where[name] = place
            changed = Members(members.voters, members.learners | {name}, tuple(sorted(where.items())))
        else:
            if remove not in where:
                return {"error": f"{remove} is no member"}
            del where[remove]
            rest = tuple(sorted(where.items()))
            changed = Members(members.voters - {remove}, members.learners - {remove}, rest)
        why = self.host.tell(self.host.core.change, Members.of(changed.plain()))
        if why is None:
            self.host.meet()
        return {"error": why} if why else {"ok": True}

    def do_yield(self, _: Any) -> dict[str, Any]:
        if self.host.core.role is not Role.LEADING:
            return {"error": "this instance does not lead"}
        return {"heir": self.host.tell(self.host.core.hand_over)}

    def do_log(self, asked: Any) -> dict[str, Any]:
        first = max(int(asked.get("since", self.host.core.last - 20)), self.host.core.base.index)
        shown = self.host.core.after(first)[:SHOWN_MOST]
        return {
            "base": self.host.core.base.index, "committed": self.host.core.committed,
            "entries": [[e.index, e.epoch, e.sort.name.lower(), e.body] for e in shown],
        }  # fmt: skip

    def do_snapshot(self, _: Any) -> dict[str, Any]:
        self.host.core.fold(self.host.core.applied, self.host.plain())
        self.host.carry_out()
        base = self.host.core.base.index
        return {"base": base, "disk_bytes": self.host.store.size, "state": self.host.plain()}

    def do_owners(self, asked: Any) -> dict[str, Any]:
        if self.host.duties is None:
            return {"error": "the settings have no owners"}
        return self.host.duties.command(asked)

    def do_decide(self, asked: Any) -> dict[str, Any]:
        """Puts a decision into the log and waits until it is committed; it may be asked for again."""
        decision = Decision.of([
            asked["id"], asked["act"], asked.get("release", 0), asked.get("stage", 0),
            asked.get("share", 1.0), asked.get("node", ""), asked.get("by", "command"),
        ])  # fmt: skip
        now = self.host.tasks.now()
        if not self.host.core.may_act(now):
            return {"error": "this instance does not lead", "leader": self.host.core.leader}
        if decision.name in self.host.ledger.names:
            return {"place": self.host.ledger.names[decision.name], "again": True}
        waiter: list[Any] = [self.host.tasks.current(), None]
        self.host.waiting.setdefault(decision.name, []).append(waiter)
        try:
            if not self.host.propose(decision):
                return {"error": "too many decisions are open; again in a moment"}
            until = self.host.tasks.now() + ANSWER_S
            while waiter[1] is None and self.host.tasks.now() < until:
                self.host.tasks.wait(until)
        finally:
            if waiter in (others := self.host.waiting.get(decision.name, [])):
                others.remove(waiter)
                if not others:
                    del self.host.waiting[decision.name]
        return waiter[1] or {"error": "not committed yet; ask again with the same identity", "unknown": True}
