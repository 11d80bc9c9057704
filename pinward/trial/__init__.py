"""Roll-outs: an order's life (`order`), a front's part in it (`front`), the tally at the primary
(`tally`).
"""
