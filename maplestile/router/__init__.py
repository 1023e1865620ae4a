"""The router process: configuration, start, reload, drain and handover."""
