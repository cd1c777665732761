"""Stand-ins, load, proofs and benches; no part of the product."""
