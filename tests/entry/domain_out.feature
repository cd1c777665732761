Feature: A failure domain leaves and returns
  Operators take a failure domain out of service under load: twice, together
  with its return, while the store fails, or while the domain is partitioned
  from the platform. No request may wait for an answer that never comes, and no
  packet may reach a VM that is being shut down.

  Scenario Outline: No packet reaches a failure domain out of service
    The VMs learn of the change one after the other. Until then a VM relays to
    the domain, and the owners in the domain continue to dispatch.

    Then the proof domain-out holds with seed <seed>
    And the proof domain-out sees its control fail with seed <seed>

    Examples:
      | seed |
      | 2    |
