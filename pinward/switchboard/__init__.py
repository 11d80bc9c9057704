"""Fronts that carry traffic: which machine a call goes to (`lines`), its life (`call`), the sending
(`wire`), the session with a control front (`session`), and the program (`host`, `__main__`).
"""
