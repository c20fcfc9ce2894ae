#!/usr/bin/env python3
"""Writes fault scenarios ("days") for the users' test bench in which endpoints are
drained after short faults.

usage: make_leaving_days.py FOLDER COUNT [SEED]

Time limits apply only to machines without a fault for some seconds. A day
therefore repeats: short faults of one to three kinds, a quiet period that is just
longer than that, and draining of endpoints of every service.
"""

from make_days import entry, write_days, write_file

QUIET_S = 3.3     # the platform counts a machine as healthy after 3 s
DAY_S = 26.0
FIRST_S = 0.8
WAVE_S = (3.0, 4.2)

# Kind: alternative (length, settings)
SHORT_FAULTS = {
    "reset_conns": [(0, 'how = "silent", share = 1.0, x = 0.6'),
                    (0, 'how = "silent", share = 1.0, x = 0.95')],
    "platform_down": [(length, 'how = "%s", for_s = %.1f' % (how, length))
                      for how in ("silent", "busy", "reset", "silent lapse",
                                  "nodes silent", "nodes many")
                      for length in (0.3, 0.7, 1.5)],
    "platform_compact": [(1.5, 'how = "drain", x = 5.0, for_s = 1.5')],
    "platform_slow": [(0.5, "x = 60, for_s = 0.5"), (1.5, "x = 500, for_s = 1.5")],
    "platform_lost": [(1, "x = 0.9, for_s = 1.0")],
    "core_cut": [(length, "count = 3, for_s = %.1f%s" % (length, how))
                 for length in (0.6, 1.2)
                 for how in ("", ', how = "one_way"', ', how = "leader race drain"')],
    "node_cut": [(0.6, "share = 0.9, for_s = 0.6"),
                 (1.5, 'share = 0.9, for_s = 1.5, how = "one_way"')],
    "node_kill": [(0.5, "share = 0.9"),
                  (1, 'share = 0.8, how = "power", for_s = 1.0')],
    "node_freeze": [(0.5, "share = 0.9, for_s = 0.5"),
                    (3, "share = 0.9, for_s = 3.0")],
    "lossy": [(1, "x = 0.2, for_s = 1.0")],
    "replace_core": [(1.5, "x = 1.0")],
}

LEAVING = [
    ("release", 0.0, "share = 0.7, x = 2.0, gap_s = 0.4"),
    ("scale_in", 0.5, "share = 0.3"),
    ("release", 1.0, "share = 0.9, x = 2.0, gap_s = 0.4"),
    ("scale_in", 1.4, 'share = 0.2, how = "spot"'),
]


def write_day(folder, number, rng):
    kinds = rng.sample(sorted(SHORT_FAULTS), rng.choice((1, 2, 3)))
    lists = {"plan": [], "faults": []}
    begin = FIRST_S
    while begin < DAY_S:
        end = begin
        for kind in kinds:
            length, settings = rng.choice(SHORT_FAULTS[kind])
            at = begin + rng.uniform(0.0, 0.4)
            lists["faults"].append(entry(kind, settings, at))
            end = max(end, at + length)
        leave = end + QUIET_S + rng.uniform(-0.3, 0.3)
        lists["plan"] += [entry(kind, settings, leave + after)
                          for kind, after, settings in LEAVING]
        begin = leave + rng.uniform(*WAVE_S)
    write_file(folder, "leaving-%d" % number, rng, lists)


if __name__ == "__main__":
    write_days(write_day)
