Feature: A failure domain leaves and returns
  Operators take a failure domain out while it is loaded, twice, raced with
  its return, while the store goes down, or while the domain is cut off from
  the platform. Drivers with requests there wait for answers that nobody will
  send, and packets still reach machines that are being switched off.

  Scenario Outline: No packet reaches a failure domain that is out
    The word reaches the VMs one after the other, and whoever has not heard it
    relays to the domain; its owners work on until they hear it themselves.

    Then the proof domain-out holds with seed <seed>
    And the proof domain-out sees its control fail with seed <seed>

    Examples:
      | seed |
      | 2    |
