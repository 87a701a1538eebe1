"""Bounded pools of upstream connections and the queues before them."""
