Feature: Real processes that die, freeze and stop
  Three entry VMs of one failure domain run as processes before one upstream
  that writes down what it ran. A fabric sprays, loses and copies packets.
  What callers were told must agree with the upstream's ledger, whatever the
  timing: the checks count, they measure no time.

  Scenario: The owner is killed while callers post counts
    A newsagent's count is under way when the VM that owns the ledger's
    upstream dies. Whether it ran can be known by no other VM: told "not run",
    the newsagent would post it again and be credited twice.
    Given three entry VMs as processes before an upstream with a ledger
    When callers post 150 counts and the owner is killed after 40
    Then the processes ran no count twice and told no caller anything untrue
    And counts were answered again after the fault

  Scenario: The owner freezes beyond its detection and goes on
    The owner's VM stops for seconds. Its peers take the upstream over; then
    it wakes up with requests in its socket and the belief that it owns the
    upstream still.
    Given three entry VMs as processes before an upstream with a ledger
    When callers post 150 counts and the owner freezes for 7 seconds after 40
    Then the processes ran no count twice and told no caller anything untrue
    And counts were answered again after the fault

  Scenario: Every entry VM is replaced, one after the other
    Operators replace all VMs in the middle of the morning. Each stops as
    planned; a count that it cuts off would be lost or billed wrongly.
    Given three entry VMs as processes before an upstream with a ledger
    When callers post counts while each VM is replaced by SIGTERM
    Then every stopped process ended with 0
    And the processes ran no count twice and told no caller anything untrue
    And the processes lost no count
