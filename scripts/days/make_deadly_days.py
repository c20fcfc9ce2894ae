#!/usr/bin/env python3
"""Writes fault scenarios ("days") for the users' test bench in which requests
crash the endpoints that run them, at random times and shares, among other faults.

usage: make_deadly_days.py FOLDER COUNT SEED CLASS...

CLASS names kinds of requests of the simulated deployment.
"""

import sys

from make_days import entry, write_days, write_file

OTHER_FAULTS = [
    ("faults", "srv_crash", "share = 0.3, for_s = 3.0"),
    ("faults", "node_kill", "share = 0.5"),
    ("faults", "herd_kill", "share = 0.6"),
    ("faults", "core_cut", "count = 2, for_s = 4.0"),
    ("faults", "node_cut", "share = 0.4, for_s = 3.0"),
    ("faults", "platform_down", 'how = "silent", for_s = 4.0'),
    ("faults", "reset_conns", "share = 0.5, x = 0.5"),
    ("faults", "retry_abuse", "share = 0.4, x = 4.0, for_s = 8.0"),
    ("plan", "roll_term", "share = 0.5, x = 1.0, gap_s = 1.5"),
    ("plan", "version_bump", "count = 0"),
]


def write_day(folder, number, rng):
    lists = {"plan": [], "faults": []}
    for _ in range(rng.choice((1, 1, 2))):
        settings = 'how = "deadly", class = "%s", share = %.2f, for_s = %.1f' % (
            rng.choice(sys.argv[4:]), rng.choice((0.01, 0.03, 0.1, 0.3)),
            rng.choice((4.0, 10.0, 20.0)))
        lists["faults"].append(entry("poison", settings, rng.uniform(0.2, 20.0)))
    for where, kind, settings in rng.sample(OTHER_FAULTS, rng.choice((0, 1, 2))):
        lists[where].append(entry(kind, settings, rng.uniform(2.0, 24.0)))
    write_file(folder, "deadly-%d" % number, rng, lists)


if __name__ == "__main__":
    write_days(write_day)
