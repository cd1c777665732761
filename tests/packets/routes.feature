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

  Scenario Outline: A part that can't be used takes nothing else with it
    # Guards against an old manifest that stays in force for one field or row.
    Given a domain "a" with 1 node and 2 upstreams
    When a manifest is written whose <part> is <text>
    And 4 new flows in "a" send a request
    Then every request is served
    And the manifest written last is in force
    And it is told that a part is left out
    When the node of "a" is restarted
    And 4 new flows in "a" send a request
    Then every request is served
    And the manifest written last is in force

    Examples:
      | part          | text                                     |
      | Services      | [5]                                      |
      | Services      | [{"Name": 5}]                            |
      | Services      | [{"Name": "ledger", "WarmupS": "x"}]     |
      | Limits        | 5                                        |
      | Limits        | {"IdleTimeoutMs": -1}                    |
      | Priority      | -1                                       |
      | Priority      | true                                     |
      | Priority      | 1.5                                      |
      | SloMs         | -1                                       |
      | SloMs         | "5"                                      |
      | TimeoutMs     | [1]                                      |
      | Name          | 5                                        |
      | Name          | "\ud800"                                 |
      | another route | 5                                        |
      | another route | {"Name": "x"}                            |
      | another route | {"Hostname": "300.1.1.1", "Prefix": "/9/", "Service": "ledger"} |
      | another route | {"Hostname": "198.18.0.1", "Prefix": "/9/", "Service": "\ud800"} |
      | another route | 900 brackets                             |

  Scenario Outline: A number or name that no page bounds is in force
    # Guards against a manifest that is ignored whole for a bound of our own.
    Given a domain "a" with 1 node and 2 upstreams
    When a manifest is written whose <part> is <text>
    And 4 new flows in "a" send a request
    Then every request is served
    And the manifest written last is in force
    And it is not told that a part is left out
    When the node of "a" is restarted
    And 4 new flows in "a" send a request
    Then every request is served

    Examples:
      | part          | text                        |
      | Priority      | 256                         |
      | Priority      | 300                         |
      | Priority      | 320 nines                   |
      | Priority      | 5000 nines                  |
      | SloMs         | 100000000                   |
      | TimeoutMs     | 100000000                   |
      | TimeoutMs     | 1e300                       |
      | TimeoutMs     | 320 nines                   |
      | Limits        | {"IdleTimeoutMs": 1e300}    |
      | Name          | 300 letters                 |
      | Weight        | 1e308                       |
      | Weight        | 320 nines                   |
      | another route | {"Hostname": "198.18.0.1", "Prefix": "/9/", "Service": "ledger", "Priority": 300} |

  Scenario: A service with a long name is served
    # Guards against a bound on names that no page sets.
    Given a domain "a" with 1 node and 2 upstreams
    When a manifest is written whose Service has a name of 300 letters
    And 4 new flows in "a" send a request
    Then every request is served

  Scenario Outline: Only the order of priorities counts
    # Guards against a large number that leaves urgent routes without a limit.
    Given a manifest whose routes have the priorities <priorities>
    Then their urgencies are <urgencies>

    Examples:
      | priorities | urgencies |
      | 1 2        | 1 0       |
      | 0 300      | 1 0       |
      | 7 7 900    | 1 1 0     |

  Scenario: A node that has no manifest is not ready
    # Guards against a node that gets flows and drops all of them.
    Given a node that has read a store without a manifest
    Then it is not ready for routers
    When it reads a manifest
    Then it is ready for routers

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
