.PHONY: build test lint run toy

build:  ## .venv and the compiled package in build/lib
	sh deploy/build

test:
	python3 -B -m unittest discover -s tests -t .

lint:
	.venv/bin/ruff check . || ruff check .

run: build  ## a front with the example's configuration; `make toy` beside it
	cd build/lib && ROUTER_CONFIG=$(CURDIR)/example/config.json exec ../../.venv/bin/python -B -m pinward

toy:
	python3 example/toy.py
