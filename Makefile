.PHONY: try build test lint run toy three owners gateway

try: build  ## sets up all that is needed and runs a front before the toy fleet
	.venv/bin/python -B example/toy.py --front

test:  ## sets up all that is needed and runs ruff, mypy and the tests
	sh deploy/test

build:  ## .venv and the compiled package in build/lib
	sh deploy/build

lint:
	sh deploy/test ruff

run: build  ## a front with the example's configuration; `make toy` beside it
	cd build/lib && ROUTER_CONFIG=$(CURDIR)/example/config.json exec ../../.venv/bin/python -B -m pinward

three:  ## sets up all that is needed and runs three control instances until Ctrl-C
	sh deploy/test setup
	.venv-test/bin/python -B example/three.py

toy:
	python3 example/toy.py

owners:  ## sets up all that is needed and runs three instances and three members that share probing
	sh deploy/test setup
	.venv-test/bin/python -B example/owners.py

gateway:  ## sets up all that is needed and runs a small gateway on loopback until Ctrl-C
	sh deploy/test setup
	.venv-test/bin/python -B example/gateway.py
