"""The callers' and operators' HTTP API, by ``quart`` on ``hypercorn`` with ``trio``."""
