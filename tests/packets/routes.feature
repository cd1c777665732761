Feature: Routes in force, and failure domains out of service
  The highest version of the manifest is in force, whatever arrives later, and a
  change applies to new flows only.

  Scenario: An older manifest that arrives late is ignored
    # A slow answer of the store, or a peer that was partitioned, delivers
    # version 7 while version 8 is in force. Applying it would undo a change.
    Given a domain "a" with 1 node and 2 upstreams
    And version 8 sends port 8443 to "ledger" and port 8080 to "ledger"
    When version 7 with no route for port 8080 arrives late
    And 4 new flows in "a" to port 8080 send a request
    Then every new request is served within 0.1 seconds

  Scenario: A new version does not move open flows
    # Operators route a port to another service; open flows stay with the old
    # service until they end.
    Given a domain "a" with 1 node and 2 upstreams
    And an upstream of service "desk" in "a"
    And 6 open flows in "a"
    When version 9 sends port 8443 to "desk"
    And every flow sends a request
    And 3 new flows in "a" send a request
    Then every request is served
    And the upstream of "desk" ran 3 requests

  Scenario: Flows of a removed route are reset
    # Flows of a removed route must not continue, and their clients should be
    # told without delay.
    Given a domain "a" with 1 node and 2 upstreams
    And 4 open flows in "a"
    When version 9 sends port 8080 to "ledger"
    And every flow sends a request
    And 0.1 seconds pass
    Then every flow was ended by a node

  Scenario: An opening for an address without a route is reset without delay
    Given a domain "a" with 1 node and 2 upstreams
    When 2 new flows in "a" to port 9999 send a request
    And 0.1 seconds pass
    Then every new flow was ended by a node

  Scenario: A node with an outdated cache does not reset flows without a route
    # The node is partitioned from the store; the route may be new.
    Given a domain "a" with 1 node and 2 upstreams
    When the node of "a" is partitioned from the store
    And 5 seconds pass
    And 2 new flows in "a" to port 9999 send a request
    And 0.1 seconds pass
    Then no flow was ended by a node

  Scenario Outline: An invalid manifest leaves the last one in force
    # Whatever is stored under the key, the last valid manifest stays in force.
    Given a domain "a" with 1 node and 2 upstreams
    When the manifest <text> is written
    And 4 new flows in "a" send a request
    Then every request is served

    Examples:
      | text |
      | {} |
      | [1] |
      | rubbish |
      | {"Version": "9", "Routes": []} |
      | {"Version": 9, "Routes": [{"Name": "x"}]} |
      | {"Version": 9, "Routes": [{"Name": "x", "Hostname": "300.1.1.1", "Prefix": "/8443/", "Service": "ledger"}]} |
      | {"Version": 9, "Routes": [{"Name": "x", "Hostname": "198.18.0.1", "Prefix": "/x/", "Service": "ledger"}]} |
      | {"Version": 9, "Routes": 5} |
      | {"Version": 9, "Services": [5], "Routes": []} |

  Scenario: A domain taken out of service keeps its flows and gets no new ones
    # Operators take a domain out of service because of overheating. New flows
    # use other domains; requests on open flows are not interrupted.
    Given a domain "a" with 1 node and 2 upstreams
    And a domain "b" with 1 node and 2 upstreams
    And 6 open flows in "a"
    When operators take "a" out
    And 8 new flows in "a" send a request
    And every flow sends a request
    Then every request is served
    And upstreams of "a" got no opening since

  Scenario: A domain missing from a full read is back in service
    # The node missed the change because the store had compacted its history.
    # The full read does not contain the domain any more.
    Given a domain "a" with 1 node and 2 upstreams
    And a domain "b" with 1 node and 2 upstreams
    When operators take "a" out
    And the node of "a" misses that "a" is put back and does a full read
    And 8 new flows in "a" send a request
    Then every request is served
    And upstreams of "b" got no opening
