Feature: Path of a request
  The packets of a caller arrive at any entry VM. The owner of the upstream
  serves the request, and the caller receives the answer.

  Scenario: Requests through any entry VM are answered
    Given three entry VMs in three failure domains
    And one upstream of "kiosk-ledger" in the first
    When a caller sends 20 requests through any entry VM
    Then every request through any entry VM is answered
    And the upstream ran each request once
