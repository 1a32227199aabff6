"""Requests of legal size whose path is made of slashes stop all other callers."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

import standin
from standin import note

MAX_HEADER_BYTES = 16384
ODD_REQUESTS = 240
PATH_BYTES = 15900
ORDINARY_REQUESTS = 60
ORDINARY_INTERVAL_S = 0.1
TIMEOUT_S = 1.5
SLACK_S = 0.5
# "Eight or more of them, and over a quarter"
UNANSWERED_MIN = 8
UNANSWERED_SHARE = 0.25


class Ordinary(threading.Thread):
    """A client with one request, on a connection that it had opened before."""

    def __init__(self, router, number):
        super().__init__(daemon=True)
        self.number = number
        self.client = standin.Client(router, 60)
        self.took_s = None
        self.answer = None

    def run(self):
        began = time.monotonic()
        _, self.answer = self.client.ask("POST", "/unsafe/%d" % self.number, b"order",
                                         deadline_ms=int(1000 * TIMEOUT_S))
        self.took_s = time.monotonic() - began


def make_odd_requests(site, trouble):
    """Opens a connection for each request, and returns what is to be sent on it."""
    filler = "/" if trouble else "a"
    requests = []
    for number in range(ODD_REQUESTS):
        path = "/safe/" + filler * PATH_BYTES + "x"
        data = standin.format_request("GET", path, standin.new_id())
        assert len(data) <= MAX_HEADER_BYTES
        requests.append((standin.Client(site.routers[0], 110), data))
    return requests


def case(trouble):
    replicas = [standin.Replica("i-%d" % i) for i in range(2)]
    config = standin.make_config()
    config["limits"]["max_header_bytes"] = MAX_HEADER_BYTES
    for route in config["routes"]:
        if route["name"] == "unsafe":
            route["timeout_ms"] = int(1000 * TIMEOUT_S)
    site = standin.Site(replicas, config=config)
    try:
        if not site.start():
            return standin.EXIT_NOT_RUN
        time.sleep(1)
        odd = make_odd_requests(site, trouble)
        ordinary = [Ordinary(site.routers[0], i) for i in range(ORDINARY_REQUESTS)]
        note("%d requests with a path of %d bytes are sent" % (len(odd), PATH_BYTES))
        for client, data in odd:
            client.sock.sendall(data)
        for thread in ordinary:
            thread.start()
            time.sleep(ORDINARY_INTERVAL_S)
        silent = 0
        for _ in range(3):
            silent += not site.routers[0].is_ready()
        note("questions for readiness without an answer in a second: %d of 3" % silent)
        end = time.monotonic() + 80
        for thread in ordinary:
            thread.join(max(0, end - time.monotonic()))
    finally:
        site.stop()
    bound = TIMEOUT_S + SLACK_S
    late = [t for t in ordinary if t.took_s is None or t.took_s > bound]
    longest = max(t.took_s or 80 for t in ordinary)
    note("ordinary requests without an answer %.1f s after they were sent: %d of %d; "
         "the longest took %.1f s" % (bound, len(late), len(ordinary), longest))
    is_broken = (len(late) >= UNANSWERED_MIN
                 and len(late) > UNANSWERED_SHARE * len(ordinary))
    return standin.EXIT_BROKEN if is_broken else standin.EXIT_HELD


standin.main(FOLDER, case)
