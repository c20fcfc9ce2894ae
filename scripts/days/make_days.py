#!/usr/bin/env python3
"""Writes fault scenarios ("days") for the users' test bench, with two or three
kinds of fault at once; each kind leads in turn.

usage: make_days.py FOLDER COUNT [SEED]

A day draws its kinds of fault from KINDS, each at a random time: at the start,
past the end, or around a new version of the weights, a revoked key, a stop or a
complete power failure.
"""

import pathlib
import random
import sys

# (list of the day file, kind, alternative settings)
KINDS = [
    ("faults", "burst", ["x = 1.7, for_s = 4.0"]),
    ("faults", "hot_key", ["share = 0.35, for_s = 6.0"]),
    ("faults", "retry_abuse", ["x = 3.0, share = 0.3, for_s = 5.0"]),
    ("faults", "give_up", ["share = 0.3, for_s = 5.0"]),
    ("faults", "srv_crash", ["share = 0.3, for_s = 3.0",
                             'how = "dark", share = 0.2, for_s = 8.0',
                             'how = "gone", share = 0.2',
                             'how = "all", share = 0.2, for_s = 2.0']),
    ("faults", "srv_slow", ["share = 0.2, x = 4.0, for_s = 6.0"]),
    ("faults", "srv_grey", ['how = "%s", share = 0.2, x = 0.4, for_s = 6.0' % w
                            for w in ("errors", "shed", "busy", "hang",
                                      "reset", "mute", "slow")]),
    ("faults", "srv_cut", ["share = 0.2, for_s = 6.0",
                           'how = "fronts", share = 0.3, x = 0.4, for_s = 6.0',
                           'how = "some", share = 0.3, x = 0.3, for_s = 6.0',
                           'how = "one_way", share = 0.2, for_s = 6.0',
                           'how = "reset", share = 0.2, for_s = 6.0']),
    ("faults", "answer_lost", ["share = 0.5, x = 0.05, for_s = 6.0",
                               'how = "reset", share = 0.5, x = 0.05, '
                               'for_s = 6.0']),
    ("faults", "garble", ['how = "%s", share = 0.5, x = 0.03, for_s = 6.0' % w
                          for w in ("", "extra", "extra late", "unframed",
                                    "early", "rot")]),
    ("faults", "node_kill", ["share = 0.3", 'how = "power", share = 0.3, '
                             'for_s = 3.0']),
    ("faults", "node_freeze", ["share = 0.2, for_s = 4.0"]),
    ("faults", "node_slow", ["share = 0.3, x = 5.0, for_s = 6.0"]),
    ("faults", "node_cut", ["share = 0.3, for_s = 6.0",
                            'how = "all", share = 0.2, for_s = 6.0']),
    ("faults", "core_cut", ["count = 2, for_s = 6.0",
                            'how = "leader race", for_s = 4.0']),
    ("faults", "lossy", ["x = 0.03, for_s = 6.0"]),
    ("faults", "platform_down", ['how = "%s", for_s = 5.0' % w
                                 for w in ("silent", "busy", "reset",
                                           "silent lapse")] +
     ['how = "nodes %s", share = 0.4, for_s = 9.0' % w
      for w in ("busy", "many", "reset", "silent revoke", "many revoke meet")]),
    ("faults", "platform_slow", ["x = 60.0, for_s = 6.0"]),
    ("faults", "platform_lost", ["x = 0.4, for_s = 6.0",
                                 'how = "late", x = 0.4, for_s = 6.0']),
    ("faults", "platform_compact", ["x = 5.0, for_s = 12.0",
                                    'how = "drain", x = 5.0, for_s = 12.0']),
    ("faults", "applied_late", ['how = "%s", x = 0.6, for_s = 8.0' % w
                                for w in ("orders", "all")]),
    ("faults", "kv_slow", ["share = 0.4, x = 8.0, for_s = 6.0"]),
    ("faults", "events_gap", ["share = 0.6, for_s = 5.0"]),
    ("faults", "replace_with_reuse", ["share = 0.2", 'how = "drain", share = 0.2',
                                      'how = "dark", share = 0.2',
                                      'how = "side", share = 0.2']),
    ("faults", "herd_kill", ["share = 0.6", 'how = "power", share = 0.6']),
    ("faults", "after_ack_kill", ["count = 1", 'how = "kill", count = 2']),
    ("faults", "clock_step", ["x = 3000, share = 0.5, for_s = 6.0",
                              'how = "back", x = 4000, share = 0.5, '
                              'for_s = 6.0']),
    ("faults", "reset_conns", ["share = 0.4, x = 0.5",
                               'how = "silent", share = 0.7, x = 0.6']),
    ("plan", "release", ["share = 0.5, x = 1.0, gap_s = 1.0"]),
    ("plan", "scale_in", ["share = 0.2", 'how = "spot", share = 0.2']),
    ("plan", "scale_out", ["share = 0.3, gap_s = 1.0"]),
    ("plan", "roll_term", ["share = 0.5, x = 1.0, gap_s = 1.5",
                           'how = "busy", gap_s = 1.0',
                           'share = 0.3, how = "remove", gap_s = 1.0']),
    ("plan", "replace_core", ["x = 1.0", 'how = "planned", x = 2.0']),
    ("plan", "hup", ["share = 0.6, gap_s = 1.0"]),
    ("plan", "config_change", ['how = "%s"' % w for w in
                               ("route", "weights", "timeout", "tenant",
                                "idle")]),
    ("plan", "config_storm", ["for_s = 4.0, gap_s = 0.3"]),
    ("plan", "big_config", ["count = 350"]),
    ("plan", "revoke", ["count = 2, gap_s = 1.0", 'how = "last", count = 2']),
    ("plan", "version_bump", ["count = 0"]),
]

CLOSINGS = ["", "", 'closing = { kind = "kill_all", down_s = 1.0 }',
            'closing = { kind = "power_off_all", down_s = 1.3 }']


def entry(kind, settings, at):
    return '  { at = %.2f, kind = "%s", %s },' % (at, kind, settings)


def write_day(folder, number, rng):
    lists = {"plan": [], "faults": []}
    first = KINDS[number % len(KINDS)]
    drawn = [first] + [rng.choice(KINDS) for _ in range(rng.choice((1, 2)))]
    for where, kind, settings in drawn:
        at = rng.choice((0.1, rng.uniform(0.5, 24.0), rng.uniform(8.0, 20.0),
                         30.0))
        lists[where].append(entry(kind, rng.choice(settings), at))
        if rng.random() < 0.25:
            lists[where].append(
                entry(kind, rng.choice(settings), min(at + 9.0, 30.0)))
    if rng.random() < 0.6:
        at = rng.uniform(2.0, 22.0)
        lists["plan"].append(entry("version_bump", "count = 0", at))
    write_file(folder, "own-%d" % number, rng, lists, CLOSINGS)


def write_file(folder, name, rng, lists, closings=()):
    text = ['name = "%s"' % name, 'slot = "trouble"',
            "seed = %d" % rng.randrange(1, 1 << 30), "one = 0.8", "zero = 0.2",
            "goal = { floor = 0.05 }"]
    if closings:
        text.append(rng.choice(closings))
    for where, entries in lists.items():
        text += ["%s = [" % where] + entries + ["]"]
    (folder / (name + ".toml")).write_text("\n".join(text) + "\n")


def write_days(write_day):
    """Writes the number of days given on the command line."""
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(int(sys.argv[3]) if len(sys.argv) > 3 else 1)
    for number in range(int(sys.argv[2])):
        write_day(folder, number, rng)


if __name__ == "__main__":
    write_days(write_day)
