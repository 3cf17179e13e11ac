"""Case 7: a node that got SIGTERM accepts a stream that cannot end within the grace period, and cuts it off."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import lab2  # noqa: E402

EVENTS, TOKENS_PER_EVENT = 24, 4
# Seconds. The route's targets are 1.8 and 0.18. The pause is that of four steps of a full slow engine of the site:
# 24 slots, 9.9 ms a step, 1.6 times as slow as others, and 2.5 times at moments.
FIRST_EVENT, PAUSE = 1.2, 0.16
GRACE = 8.0  # seconds from SIGTERM to SIGKILL
SEND_AT = (3.2, 3.5, 3.8, 4.1)  # seconds after SIGTERM
DEADLINE_MS = 39000


def play(record_path):
    site = lab2.Site(record_path, 2, lab2.COOPNOR)
    record = site.record

    def run(worker, connection, request):
        record("worker %s runs %s" % (worker.name, request.id))
        connection.settimeout(None)
        time.sleep(FIRST_EVENT)
        connection.sendall(worker.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        for number in range(1, EVENTS + 1):
            if number > 1:
                time.sleep(PAUSE)
            event = b"id: %d\ndata: piece %d of %s\n\n" % (number, number, request.id.encode())
            try:
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                record("worker %s: the channel of %s was closed before event %d" % (worker.name, request.id, number))
                raise
        connection.sendall(b"0\r\n\r\n")
        record("worker %s has answered %s whole" % (worker.name, request.id))
        return True

    answers, lock = [], threading.Lock()
    try:
        site.configure([lab2.route("letters", "streaming", "pool", DEADLINE_MS, gap_target_ms=180, sticky=True)], [lab2.ENGINE])
        for i in range(3):
            site.add_worker("i-worker%d" % i, "pool", run)
        site.start()
        node = site.nodes[0]
        time.sleep(4.2)  # contact_ms: the node is in touch

        def send(number, began):
            time.sleep(max(0, began + SEND_AT[number] - time.monotonic()))
            request_id = "letter-%d" % number
            record("%s sent to %s, %.1f s after the signal" % (request_id, node.name, time.monotonic() - began))
            header = lab2.request_header(request_id, DEADLINE_MS, **{
                "Crocusreel-Model": "m", "Crocusreel-Token-Usage": "2200,%d" % (EVENTS * TOKENS_PER_EVENT),
                "Crocusreel-Prompt-Prefix": "5c1e07a2:350,%x:1850" % (0xe4402b00 + number)})
            try:
                answer = lab2.exchange(node.address("frontend"), "POST", "/letters/x", header, b"prompt", timeout=15)
            except OSError as error:
                record("%s: no channel: %s" % (request_id, error))
                return
            pieces = answer.body.count(b"\n\n")
            record("%s got status %d, %d of %d pieces, complete %s %s, after %.1f s" % (
                request_id, answer.status, pieces, EVENTS, answer.complete, answer.error, answer.took))
            with lock:
                answers.append((request_id, number, answer, pieces))

        addresses = node.lookup()
        record("a requester is told to use %s" % addresses)
        began = time.monotonic()
        if lab2.TROUBLE:
            node.signal(signal.SIGTERM)
            record("SIGTERM to %s" % node.name)
        all_sent = [threading.Thread(target=send, args=(n, began)) for n in range(len(SEND_AT))]
        for thread in all_sent:
            thread.start()
        if lab2.TROUBLE:
            while node.running() and time.monotonic() < began + GRACE:
                time.sleep(0.02)
            record("%s has ended by itself" % node.name if not node.running() else "SIGKILL to %s" % node.name)
            node.kill()
        for thread in all_sent:
            thread.join()
        if len(answers) == 0:
            raise lab2.NotRun("no request was answered")
        broken = []
        for request_id, number, answer, pieces in answers:
            if answer.status == 200 and not answer.complete:
                detail = "%s, sent %.1f s after SIGTERM and passed on to a worker, ends after %d of %d pieces" % (request_id, SEND_AT[number], pieces, EVENTS)
                record("LOST: " + detail)
                broken.append(detail)
        return broken
    finally:
        site.close()


lab2.main(os.path.join(HERE, "record.txt"), play)
