PYTHON ?= python3
VENV ?= .venv

.PHONY: demo test venv format

demo: venv
	$(VENV)/bin/burdocksill-lab demo

test: venv
	$(VENV)/bin/python -m tools.verify

format: venv
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@
