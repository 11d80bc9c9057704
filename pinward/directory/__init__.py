"""Machines known, by life: what they said of themselves last, merged from any number of sources.

`entry` has the terms, `book` the state machine that control fronts and fronts both keep.
"""
