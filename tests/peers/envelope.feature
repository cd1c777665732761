Feature: Datagrams between entry VMs
  Anybody who reaches a VM's port can send it datagrams, and whoever listens
  on the way can send old ones again. An accepted one could keep a dead VM
  alive, bring back a document or run a request.

  Scenario Outline: A datagram that is not the fleet's is refused and counted
    Given peers that share the fleet's keys
    When a peer's datagram <how>
    Then the peer refuses it as <reason>

    Examples:
      | how                          | reason       |
      | is cut to 20 bytes           | short        |
      | has a byte changed           | signature    |
      | is of another fleet          | signature    |
      | has a key of long ago        | unknown-key  |
      | is sent again                | replayed     |
      | comes 300 datagrams too late | replayed     |

  Scenario: Datagrams that overtake each other are all accepted
    Given peers that share the fleet's keys
    Then the peer accepts 200 datagrams in any order, each once

  Scenario: The memory of senders is bounded
    Given peers that share the fleet's keys
    Then the peer remembers at most 32768 senders
