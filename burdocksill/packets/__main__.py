"""Run a node with python -m burdocksill.packets."""

from burdocksill.packets.main import main

if __name__ == '__main__':
    main()
