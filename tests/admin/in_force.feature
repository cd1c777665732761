Feature: Waiting until a record is in force
  An operator takes a failure domain out of service and switches its power
  off. One VM is partitioned from the others and from the platform, so it
  still sends packets there. If the command did not name that VM, flows would
  break that the operator believes to have been moved.

  Scenario: A partitioned VM is named until the partition heals
    Given a monitored fleet of three entry VMs and three upstreams
    When the VM in "cz-c" is partitioned from the fleet and the platform
    And an operator takes "cz-b" out and waits 5 s
    Then the record is in force on 2 VMs and not on "cz-c-entry-1"
    And the screen says "cz-b: cooling; NOT known on cz-c-entry-1"
    When the partition of the monitored fleet heals
    And the operator waits again for 10 s
    Then the record is in force on 3 VMs
