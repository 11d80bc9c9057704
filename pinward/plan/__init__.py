"""The numbering plan: settings of a process (`boot`), a configuration checked (`schema`) and looked up
(`routes`).
"""
