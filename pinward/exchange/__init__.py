"""Control fronts: the control state (`keeper`), its disk (`vault`), calls of machines and operators
(`calls`), links among control fronts (`links`), sessions with fronts (`desk`), and the program (`__main__`).
"""
