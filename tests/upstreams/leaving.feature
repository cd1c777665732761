Feature: Flows while upstreams leave and owners change
  Callers open flows while all upstreams are cold and VMs are still joining. A
  flow that had been rerouted once reached a VM that had ceased to be the
  owner. That VM refused it as no-upstream, because its path counted as too
  long.

  Scenario: A flow that was rerouted still reaches the current owner
    When the proof of leaving upstreams runs with seed 4
    Then the promise of leaving upstreams held
