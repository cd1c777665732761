Feature: Status and explanations from any entry VM
  While the platform is down and one VM is dead, any remaining VM must be
  enough to show the state of the fleet and to explain why a request was
  refused.

  Scenario: Status finds every VM from one of them while the platform is down
    Given a monitored fleet of three entry VMs and three upstreams
    When the platform goes down and the VM in "cz-c" dies
    And status is asked of the VM in "cz-b"
    Then status shows 2 VMs that answer and "cz-c-entry-1" that does not
    And status shows "kiosk-ledger" revision and owner
    And the status screen has the lines
      | line                                   |
      | ENTRY VMS  2 of 3 answer               |
      | !! cz-c-entry-1 does not answer        |
      | FAILURE DOMAINS OUT  none              |
      | ok kiosk-ledger/ledger-1 in cz-a       |
      | REFUSED IN THE LAST MINUTE  none       |

  Scenario: A flow is explained by its cookie from all VMs' decisions
    Given a monitored fleet of three entry VMs and three upstreams
    When a monitored caller sends 3 requests
    And its cookie is explained
    Then the explanation names upstream "ledger-1" and owner "cz-a-entry-1"
    And the explanation has 3 answers that ran
    And the explanation begins with the placement of the flow

  Scenario: A refused request is explained and counted with its reason
    Given a monitored fleet of three entry VMs and three upstreams
    When a monitored caller asks for an unknown service
    And status is asked of the VM in "cz-b"
    Then status counts a refusal "service-unknown"
    And no metric names the unknown service

  Scenario: An invalid query is refused with a hint
    Given a monitored fleet of three entry VMs and three upstreams
    Then explaining "xyz" fails with "burdocksill.E104"

  Scenario: Metrics are in the Prometheus text format with quantiles
    Given a monitored fleet of three entry VMs and three upstreams
    When a monitored caller sends 3 requests
    Then the metrics of the owner contain
      | text                                          |
      | burdocksill_answers_total{                    |
      | upstream="ledger-1",verdict="ran"             |
      | burdocksill_request_seconds{quantile="0.99",service="kiosk-ledger",upstream="ledger-1"} |
      | burdocksill_request_seconds_count{service="kiosk-ledger",upstream="ledger-1"} 3 |

  Scenario: The status screen of a large fleet shows problems first
    Then the status screen of 300 VMs, one without a majority, has at most 80 lines
    And its first line about a VM is the one without a majority
