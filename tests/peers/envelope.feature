Feature: Datagrams between entry VMs
  Anyone who can reach a VM's port can send it datagrams, and anyone on the path
  can replay old ones. An accepted one could keep a dead VM alive, restore an
  old document or run a request.

  Scenario Outline: A datagram that is not authentic is rejected and counted
    Given peers that share the fleet's keys
    When a peer's datagram <how>
    Then the peer refuses it as <reason>

    Examples:
      | how                          | reason       |
      | is cut to 20 bytes           | short        |
      | has a byte changed           | signature    |
      | is of another fleet          | signature    |
      | is signed with a retired key | unknown-key  |
      | is sent again                | replayed     |
      | comes 300 datagrams too late | replayed     |

  Scenario: Reordered datagrams are all accepted
    Given peers that share the fleet's keys
    Then the peer accepts 200 datagrams in any order, each once

  Scenario: The number of remembered senders is bounded
    Given peers that share the fleet's keys
    Then the peer remembers at most 32768 senders
