"""Requests that a leaving node accepts shortly before it stops are cut off.

Two nodes are restarted in turn, one second apart, while each serves a long stream. Requesters that get
no new addresses meanwhile go on using the ones that they have, as PROTOCOL.md says. The check looks for requests that a node has
read and passed on, and whose channel it then closed without an answer.
"""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab as kit  # noqa: E402

REQUESTERS = 40
WORK_S = 0.2  # the site has 30 ms for bed-count on average, and 220 ms at most
BUDGET_MS = 2500
CALM_S = kit.CONTACT_S + 2
ROLL_GAP_S = 1.0
END_S = 12.0
STREAM_EVENTS = 110  # 11 s
STREAM_HEADERS = [("Crocusreel-Model", "m"), ("Crocusreel-Token-Usage", "1460,440"),
                  ("Crocusreel-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")]


class Requester:
    """Looks addresses up, keeps a channel and sends one request after the other."""

    def __init__(self, case, number, patient):
        self.case, self.name, self.patient = case, f"requester {number}", patient
        self.addresses, self.expires, self.channel, self.channel_address = [], 0.0, None, ""

    async def look_up(self):
        if time.monotonic() < self.expires:
            return
        for node in self.case.lab.nodes:
            found, ttl_s = await node.lookup(kit.HOST)
            if found:
                self.addresses, self.expires = found, time.monotonic() + ttl_s * (3 if self.patient else 1)
                break
        if self.channel and self.channel_address not in self.addresses:
            self.drop()

    def drop(self):
        if self.channel:
            self.channel.close()
        self.channel = None

    async def connect(self):
        for address in random.sample(self.addresses, len(self.addresses)):
            try:
                self.channel, self.channel_address = await kit.Channel.open(address), address
                return True
            except (OSError, asyncio.TimeoutError):
                continue
        return False

    async def run(self, until):
        while time.monotonic() < until:
            await self.look_up()
            if not self.addresses or not self.channel and not await self.connect():
                await asyncio.sleep(0.1)
                continue
            await self.request()
            await asyncio.sleep(random.uniform(0.1, 0.7))

    async def request(self):
        lab, attempt = self.case.lab, self.case.lab.attempt()
        sent = {"attempt": attempt, "node": self.channel_address, "at": lab.record.now()}
        lab.record.add(self.name, "sends", attempt=attempt, node=self.channel_address)
        got, ended = None, "ended"
        try:
            self.channel.send(attempt, "POST", "/pule252/2f", BUDGET_MS, b"order " + attempt.encode())
            got = await self.channel.receive(BUDGET_MS / 1000)
        except asyncio.TimeoutError:
            ended = "time budget over"
        except OSError:
            pass
        whole = got is not None and got.complete
        sent.update(status=kit.status_of(got) if whole else 0, whole=whole, timed_out=ended == "time budget over", done=lab.record.now())
        self.case.requests.append(sent)
        lab.record.add(self.name, "answered" if whole else f"channel {ended} without an answer", attempt=attempt, status=sent["status"])
        if not whole or got.get("Connection").lower() == "close":
            self.drop()


class Case:
    def __init__(self, lab):
        self.lab, self.requests, self.terminated = lab, [], {}

    async def restart(self, node):
        """SIGTERM, SIGKILL after the grace period, and a start after a short delay."""
        self.terminated[node.address] = self.lab.record.now()
        node.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), kit.GRACE_S)
        except asyncio.TimeoutError:
            node.signal(signal.SIGKILL)
            await node.process.wait()
        self.lab.record.add(f"node {node.ip}", "has ended", code=node.process.returncode)
        await asyncio.sleep(0.3)
        await node.start()

    async def stream(self, node):
        """A stream that begins before the SIGTERM and is still at work at the end of the grace period."""
        attempt = self.lab.attempt()
        channel = await kit.Channel.open(node.address)
        self.lab.record.add("stream", "sends", attempt=attempt, node=node.address)
        channel.send(attempt, "POST", "/lohu930/2f", 39000, b"draft", headers=STREAM_HEADERS)
        got = await channel.receive(39)
        self.lab.record.add("stream", "ends", attempt=attempt, whole=bool(got and got.complete))
        channel.close()

    async def run(self):
        lab = self.lab
        await lab.start_store(kit.desired_state(1, work_timeout_ms=BUDGET_MS))
        workers = [await lab.add_worker(kit.Worker(lab.record, f"i-{i}", WORK_S), host=100 + i) for i in range(3)]
        await lab.add_worker(kit.Engine(lab.record, "e-0", STREAM_EVENTS, 0.1), "crocus-pool", host=120)
        await lab.start_nodes(2)
        until = time.monotonic() + CALM_S + END_S
        tasks = [asyncio.create_task(Requester(self, i, patient=i == 0).run(until)) for i in range(REQUESTERS)]
        await asyncio.sleep(CALM_S - 0.5)
        tasks += [asyncio.create_task(self.stream(node)) for node in lab.nodes]
        await asyncio.sleep(0.5)
        if kit.TROUBLE:
            for node in lab.nodes:
                tasks.append(asyncio.create_task(self.restart(node)))
                await asyncio.sleep(ROLL_GAP_S)
        await asyncio.gather(*tasks)
        return self.judge({attempt for w in workers for _, attempt in w.runs})

    def judge(self, ran):
        """LOST, around a SIGTERM: passed on to a sound worker, and the channel ended without an answer."""
        late = 0
        for r in self.requests:
            if r["whole"] or r["timed_out"] or r["attempt"] not in ran:
                continue
            began = self.terminated.get(r["node"])
            if began is None or not began <= r["at"] <= began + kit.GRACE_S + 1:
                self.lab.record.add("check", "not counted: sent outside planned work", attempt=r["attempt"])
                continue
            if r["at"] <= began + 3:
                continue  # excused where the worker was still at work in the last sixth of the grace period
            late += 1
            self.lab.record.add("check", "LOST", attempt=r["attempt"], node=r["node"], sent_after_sigterm=f"{r['at'] - began:.3f}s",
                                cut_after_sigterm=f"{r['done'] - began:.3f}s")
        answered = sum(r["status"] == 200 for r in self.requests)
        self.lab.record.add("check", "requests", sent=len(self.requests), answered=answered, lost=late)
        if answered < len(self.requests) // 3:
            raise kit.CannotRun("too few requests were answered")
        return kit.BROKEN if late else kit.HELD


if __name__ == "__main__":
    kit.main(__file__, lambda lab: Case(lab).run(), limit_s=60)
