"""Replicas leave without a word while the store cuts off watches that wait."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

import standin
from standin import note

REPLICAS = 22
LEAVING = 18
# The times between two that leave differ, so that they meet each moment of a watch.
LEAVE_INTERVALS_S = [2.4 + 0.17 * i % 1.2 for i in range(LEAVING)]
CUT_AFTER_S = 0.5
# "It continues serving for `drain_ms` [...] and a little longer (at times many seconds)"
SERVES_ON_S = 10
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
CLIENTS = 12
PAUSE_S = 0.02


class CuttingStore(standin.Store):
    """Cuts off each watch of the servers that has waited for CUT_AFTER_S."""

    cuts = False

    def watch(self, kind, since, wait_ms):
        if not self.cuts or kind != "servers" or wait_ms <= 1000 * CUT_AFTER_S:
            return super().watch(kind, since, wait_ms)
        status, answer = super().watch(kind, since, int(1000 * CUT_AFTER_S))
        if not answer["events"]:
            raise OSError("the watch is cut off")
        return status, answer


class Load(threading.Thread):
    def __init__(self, router, number, sent, end):
        super().__init__(daemon=True)
        self.router, self.number, self.sent, self.end = router, number, sent, end

    def run(self):
        client = None
        count = 0
        while standin.now() < self.end[0]:
            try:
                client = client or standin.Client(self.router, 5)
                count += 1
                identity = standin.new_id()
                self.sent[identity] = standin.now()
                client.sock.sendall(standin.format_request(
                    "GET", "/safe/%d-%d" % (self.number, count), identity))
                if not client.receive().complete:
                    client.close()
                    client = None
                time.sleep(PAUSE_S)
            except OSError:
                client = None
                time.sleep(PAUSE_S)


def behave(replica, sock, request):
    replica.runs.append(request)
    replica.send(sock, request, 200, b"ok")
    return True


def find_late(replica, left_s, sent):
    """Returns how late, in seconds, requests were sent that reached the replica."""
    return sorted(sent[request.id] - left_s for request in replica.runs
                  if sent.get(request.id, 0) > left_s + DRAIN_S)


def case(trouble):
    replicas = [standin.Replica("i-%02d" % i, behave) for i in range(REPLICAS)]
    site = standin.Site(replicas, routers=3, store=CuttingStore())
    sent = {}
    left = {}
    end = [1e9]
    try:
        if not site.start():
            return standin.EXIT_NOT_RUN
        time.sleep(STABLE_WINDOW_S + 1)
        site.store.cuts = trouble
        load = [Load(site.routers[i % 3], i, sent, end) for i in range(CLIENTS)]
        for thread in load:
            thread.start()
        time.sleep(2)
        for replica, interval_s in zip(replicas[:LEAVING], LEAVE_INTERVALS_S):
            site.store.remove("servers", replica.identity)
            left[replica.identity] = standin.now()
            note("the store has removed the entry of %s" % replica.identity)
            time.sleep(interval_s)
        time.sleep(SERVES_ON_S)
        end[0] = standin.now()
        for thread in load:
            thread.join(10)
    finally:
        site.stop()
    total = 0
    for replica in replicas[:LEAVING]:
        late = find_late(replica, left[replica.identity], sent)
        late = [s for s in late if s <= SERVES_ON_S]
        total += len(late)
        if late:
            note("%s: %d requests were sent more than %.1f s after its entry was "
                 "removed, the last %.2f s after it" % (
                     replica.identity, len(late), DRAIN_S, late[-1]))
    note("requests that reached replicas too late: %d of %d" % (total, len(sent)))
    return standin.EXIT_BROKEN if total > 0 else standin.EXIT_HELD


standin.main(os.path.join(FOLDER, "record.txt"),
             os.environ.get("TROUBLE", "1") != "0", case)
