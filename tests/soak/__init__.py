"""A randomized fault soak: real entries, faults from outside, promises checked.

``python -m tests.soak --seed=7 --seconds=30`` plays one seed.
"""
