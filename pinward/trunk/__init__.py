"""Lines between parts of the system: words on websockets, over TCP that does not hang on a silent peer
(`link`), and a front's session with a control front (`session`). `lean` comes first in
programs.
"""
