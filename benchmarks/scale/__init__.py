"""What the control side and the proxies cost by number of proxies, and what that means at the target size.

    python -m benchmarks.scale --quick                 # a few seconds, 12 proxies
    python -m benchmarks.scale --sizes 30,100,300,1000 # some minutes; results in benchmarks/results/
    python -m benchmarks.scale calls                   # a proxy's own time for a call

Control replicas and a few proxies are real processes; all other proxies are hollow (see `hollow.py`).
"""
