"""Writes a random dense day for tanuru-book.

Usage: random_days.py SEED FLAVOUR, where FLAVOUR is core, data or mix.
"""
import random, sys
seed, flavour = int(sys.argv[1]), sys.argv[2]
r = random.Random(f"{seed}{flavour}")
c = r.choice
def u(a, b): return round(r.uniform(a, b), 2)
CORE = ["", "leader", "renewed", "leader race", "seed", "follower", "giver", "turn", "reader", "leader hard", "leader drain", "oldest"]
def core_cut():
    base = c(["", "leader race", "leader race hard", "split", "leader race hard split lure", "both", "seeds", "lure", "relieve race", "one_way leader", "near", "all", "oldest", "behind", "leader race drain hard all", "leader reset", "refuse"])
    return dict(kind="core_cut", count=c([1, 1, 2]), for_s=u(3, 7.5), how=base)
P = {
 "config": [
  lambda: ("plan", dict(kind="config_change", how=c(["route", "weights", "timeout", "idle"]))),
  lambda: ("plan", dict(kind="config_storm", gap_s=u(.33, 1), for_s=u(3, 7), how=c(["route", "weights", "timeout", "idle"]))),
  lambda: ("plan", dict(kind="config_race", count=c([2, 3]), gap_s=u(.8, 1.5))),
  lambda: ("plan", dict(kind="bad_config", count=c([2, 4, 8]), gap_s=u(.45, 1), how=c(["", "same_version", "old_version", "stale_match", "cut_short", "no_weight"]))),
  lambda: ("faults", dict(kind="ack_lost", x=.6, for_s=u(3, 14))),
 ],
 "core": [
  lambda: ("faults", core_cut()),
  lambda: ("faults", core_cut()),
  lambda: ("faults", dict(kind="node_kill", on="core", count=1, for_s=u(1, 3.5), how=c(["", "seed", "leader race drain", "meet drain", "leader power", "renewed power", "follower power wipe", "leader"]))),
  lambda: ("faults", dict(kind="node_freeze", on="core", count=1, for_s=u(1, 4), how=c(["", "leader race", "giver", "renewed", "leader hard"]))),
  lambda: ("faults", dict(kind="herd_kill", on="core", for_s=u(.8, 2), how=c(["", "off", "taken"]))),
  lambda: ("faults", dict(kind="after_ack_wipe", for_s=u(1, 3), how=c(["", "oldest"]))),
  lambda: ("faults", dict(kind="disk_stall", count=1, for_s=u(1, 3.5), how=c(["", "leader"]))),
  lambda: ("faults", dict(kind="disk_full", count=1, for_s=u(2, 4.5), how=c(["", "leader"]))),
  lambda: ("faults", dict(kind="clock_step", share=.28, x=2400.0, for_s=u(3, 6), how=c(["leader", "back", "ahead"]))),
  lambda: ("plan", dict(kind="seed_turnover")),
  lambda: ("plan", dict(kind="roll_term", on="core", share=1.0, x=1.0, gap_s=u(1, 2), how=c(["", "leader"]))),
 ],
 "replace": [lambda: (c(["plan", "faults"]), dict(kind="replace_core", x=u(1, 2), how=c(["", "leader", "oldest", "renewed"]))),
  lambda: ("plan", dict(kind="replace_core", x=1.0, how="planned")),
  lambda: ("plan", dict(kind="add_nodes", share=.75))],
 "server": [
  lambda: ("faults", dict(kind="answer_lost", share=u(.3, .6), x=u(.03, .4), for_s=u(3, 6), how=c(["", "reset"]))),
  lambda: ("faults", dict(kind="garble", share=.6, x=.05, for_s=u(3, 6), how=c(["", "extra", "unframed", "early", "extra late", "rot"]))),
  lambda: ("faults", dict(kind="srv_crash", service=c(["msaidizi", "hifadhi-api"]), share=.25, for_s=u(2, 4.5), how=c(["", "dark", "gone"]))),
  lambda: ("faults", dict(kind="srv_grey", share=u(.15, .5), x=.45, for_s=u(3, 6.5), how=c(["errors", "shed", "busy", "hang", "reset", "mute", "slow"]))),
  lambda: ("faults", dict(kind="srv_cut", share=.2, for_s=u(3, 5), how=c(["", "reborn", "fronts", "some", "one_way", "reset"]))),
  lambda: ("faults", dict(kind="replace_with_reuse", share=.15, how=c(["", "drain", "dark"]))),
  lambda: ("plan", dict(kind="release", share=u(.12, .5), x=1.0, gap_s=1.0, service=c(["msaidizi", "hifadhi-api"]))),
  lambda: ("plan", dict(kind="scale_in", share=.14)),
  lambda: ("plan", dict(kind="scale_in", how="spot", service="msaidizi", share=.14, x=2.0)),
  lambda: ("faults", dict(kind="applied_late", x=u(.3, .5), for_s=u(5, 20), how=c(["orders", "all"]))),
  lambda: ("plan", dict(kind="version_bump", how="adapter", count=0, x=float(r.randint(1, 20)))),
  lambda: ("plan", dict(kind="model_shift", count=2, for_s=u(4, 6))),
 ],
 "front": [
  lambda: ("plan", dict(kind="roll_term", share=u(.45, 1), x=1.0, gap_s=u(1, 1.5), how=c(["", "busy"]))),
  lambda: ("faults", dict(kind="node_kill", share=u(.15, .3), for_s=u(1, 3), how=c(["", "power"]))),
  lambda: ("faults", dict(kind="herd_kill", share=.55, for_s=u(1, 2), how=c(["", "power"]))),
  lambda: ("faults", dict(kind="node_cut", share=u(.17, .4), for_s=u(3, 7), how=c(["", "all", "servers", "servers reborn"]))),
  lambda: ("faults", dict(kind="node_freeze", share=u(.15, .3), for_s=u(1, 4))),
  lambda: ("faults", dict(kind="node_slow", share=.1, x=5.0, for_s=u(3, 5))),
  lambda: ("faults", dict(kind="reset_conns", share=.3, x=.5)),
  lambda: ("faults", dict(kind="lossy", x=.04, for_s=u(3, 6), zone=c(["njiro", "sakina", "themi"]))),
  lambda: ("plan", dict(kind="hup", share=.6, gap_s=2.0)),
  lambda: ("faults", dict(kind="give_up", share=.3, for_s=u(3, 7), how=c(["", "once"]))),
  lambda: ("faults", dict(kind="retry_abuse", share=.3, x=3.0, for_s=u(3, 6))),
  lambda: ("faults", dict(kind="burst", x=1.7, for_s=u(2, 4))),
 ],
}
W = {
 "core": dict(config=.34, core=.52, replace=.14, server=0, front=0),
 "data": dict(config=.08, core=.06, replace=0, server=.5, front=.36),
 "mix": dict(config=.2, core=.25, replace=.05, server=.28, front=.22),
}[flavour]
length = 80
plan, faults = [], []
n = 38
at = 1.0
for i in range(n):
    g = r.choices(list(W), list(W.values()))[0]
    where, e = c(P[g])()
    e = {"at": round(at + r.uniform(-.4, .4), 2), **e}
    if e.get("how") == "": e.pop("how")
    (plan if where == "plan" else faults).append(e)
    at += r.expovariate(n / (length - 8))
    if at > length - 5: break
closing = c([dict(kind="power_off_all", down_s=1.4), dict(kind="wipe_after_ack", down_s=1.4), dict(kind="wipe_after_ack", down_s=1.4, how="oldest"), dict(kind="wipe_after_ack", down_s=1.4, how="aimed all synced"), dict(kind="kill_all", down_s=1.5)])
def v(x): return f'"{x}"' if isinstance(x, str) else str(x)
def t(e): return "{ " + ", ".join(f"{k} = {v(x)}" for k, x in e.items()) + " }"
print(f'name = "{flavour}-{seed}"\nlength_s = {length}\nclosing = {t(closing)}')
for n_, l in (("plan", plan), ("faults", faults)):
    print(f"{n_} = ["); [print(f"  {t(e)},") for e in sorted(l, key=lambda e: e["at"])]; print("]")
