"""Bounded pools of upstream connections and the queues in front of them."""
