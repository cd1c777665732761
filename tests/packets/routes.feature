Feature: Routes in force, and failure domains taken out
  The highest version wins, whatever comes later, and a change reaches new
  flows only.

  Scenario: An older manifest that comes late changes nothing
    # A slow answer of the store, or a peer that was cut off, offers version 7
    # after version 8 has been at work; clients would be sent back.
    Given a domain "a" with 1 node and 2 upstreams
    And version 8 sends port 8443 to "ledger" and port 8080 to "ledger"
    When version 7 with no route for port 8080 arrives late
    And 4 new flows in "a" to port 8080 send a request
    Then every new request is served within 0.1 seconds

  Scenario: A new version leaves open flows where they are
    # Operators send a port to another service; flows that are open belong to
    # the old one until they end.
    Given a domain "a" with 1 node and 2 upstreams
    And an upstream of service "desk" in "a"
    And 6 open flows in "a"
    When version 9 sends port 8443 to "desk"
    And every flow sends a request
    And 3 new flows in "a" send a request
    Then every request is served
    And the upstream of "desk" ran 3 requests

  Scenario: Flows of a route that was taken away are ended
    # Operators removed the route. Its flows must not go on, and their clients
    # should know at once.
    Given a domain "a" with 1 node and 2 upstreams
    And 4 open flows in "a"
    When version 9 sends port 8080 to "ledger"
    And every flow sends a request
    And 0.1 seconds pass
    Then every flow was ended by a node

  Scenario: An opening for an address without a route is refused at once
    Given a domain "a" with 1 node and 2 upstreams
    When 2 new flows in "a" to port 9999 send a request
    And 0.1 seconds pass
    Then every new flow was ended by a node

  Scenario: A node with old knowledge does not say that there is no route
    # The node is cut off from the store; the route may be there since.
    Given a domain "a" with 1 node and 2 upstreams
    When the node of "a" is cut off from the store
    And 5 seconds pass
    And 2 new flows in "a" to port 9999 send a request
    And 0.1 seconds pass
    Then no flow was ended by a node

  Scenario Outline: A manifest that cannot be read leaves the last one in force
    # Whatever stands under the key, flows go on by what was readable.
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

  Scenario: A domain that is taken out gets no new flow, and keeps its old ones
    # Operators take a domain out because of heat. New flows go elsewhere;
    # requests on open ones are not cut short.
    Given a domain "a" with 1 node and 2 upstreams
    And a domain "b" with 1 node and 2 upstreams
    And 6 open flows in "a"
    When operators take "a" out
    And 8 new flows in "a" send a request
    And every flow sends a request
    Then every request is served
    And upstreams of "a" got no opening since

  Scenario: A domain that was put back by a reading that hides it serves again
    # The node missed the change because the store had dropped its history;
    # the whole reading does not show the domain any more.
    Given a domain "a" with 1 node and 2 upstreams
    And a domain "b" with 1 node and 2 upstreams
    When operators take "a" out
    And the node of "a" misses "a" put back and reads everything
    And 8 new flows in "a" send a request
    Then every request is served
    And upstreams of "b" got no opening
