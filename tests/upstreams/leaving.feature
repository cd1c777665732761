Feature: Flows while upstreams leave and owners change
  Callers open flows while all upstreams are cold and VMs still join. A flow
  that is sent from one owner to the next met a VM that was no owner any more,
  which refused it as no-upstream: its way counted as too long.

  Scenario: A flow that was moved before still reaches the owner of today
    When the proof of leaving upstreams runs with seed 4
    Then the promise of leaving upstreams held
