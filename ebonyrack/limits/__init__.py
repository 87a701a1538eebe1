"""Rate limits of client accounts, kept over all proxies together."""
