Feature: Waiting until a record is in force
  An operator takes a failure domain out and switches its power off. One VM is
  cut off from the others and from the platform; it has not heard of it and
  still sends packets there. The command must name that VM, or the power goes
  off under flows that somebody believes moved.

  Scenario: A VM that is cut off is named, and no longer once the cut heals
    Given a watched fleet of three entry VMs and three upstreams
    When the VM in "cz-c" is cut off from the fleet and the platform
    And an operator takes "cz-b" out and waits 5 s
    Then the record is in force on 2 VMs and not on "cz-c-entry-1"
    And the screen says "cz-b: cooling; NOT known on cz-c-entry-1"
    When the cut of the watched fleet heals
    And an operator looks again for 10 s
    Then the record is in force on 3 VMs
