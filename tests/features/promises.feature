Feature: What must always hold
  Each promise of the brief, crossed with the failures that the brief names, alone and together.
  Everything runs on virtual time: real entries and decisions, fake upstreams, network and callers.

  Scenario Outline: A shift of traffic stays under the cap set for it
    Given the Lankaspark deployment with a cap of 20 percent in 10 seconds
    And callers look up bays 90 times a second
    When an operator moves bays from colombo to kandy in steps of 15 percent
    And an operator moves bays from galle to kandy in steps of 15 percent
    And during that, <fault>
    And 40 seconds pass
    Then kandy never took more than its cap
    And no caller was moved back
    And every promise was kept

    Examples:
      | fault                                                            |
      | nothing fails                                                    |
      | load reports stop                                                |
      | an entry dies                                                    |
      | a region fails                                                   |
      | control is cut off in silence                                    |
      | the leader changes                                               |
      | an entry is cut off in silence                                   |
      | an entry restarts after hundreds of changes                      |
      | the leader changes and also an entry dies                        |
      | control is cut off in silence and also a region fails            |

  Scenario Outline: Failover of a whole region stays under the cap, without any message
    Given the Lankaspark deployment with a cap of 20 percent in 10 seconds
    And callers look up bays 300 times a second
    When the upstreams of kandy fail for good, and <fault>
    And 26 seconds pass
    Then callers of kandy were served elsewhere, step by step under the cap
    And every promise was kept

    Examples:
      | fault                         |
      | nothing fails                 |
      | control is cut off in silence |
      | the leader changes            |

  Scenario Outline: No steering decision overloads a region
    Given the Lankaspark deployment with small capacity
    And callers look up bays 1.5 times as often as capacity allows, mostly in colombo
    When during that, <fault>
    And 12 seconds pass
    Then no upstream had more in flight than its limit
    And paid priorities were served before cheap ones
    And every promise was kept

    Examples:
      | fault                                                            |
      | nothing fails                                                    |
      | load reports stop                                                |
      | load reports mislead                                             |
      | an entry dies                                                    |
      | two entries die                                                  |
      | a region fails                                                   |
      | control is cut off in silence                                    |
      | control is heard by nobody                                       |
      | the leader changes                                               |
      | an entry is cut off in silence                                   |
      | operators race and resend                                        |
      | the leader changes and also an entry is cut off in silence       |
      | a region fails and also the leader changes                       |
      | control is cut off in silence and also two entries die           |

  Scenario Outline: Each caller gets the whole answer to its own request, and refusals are true
    Given the Lankaspark deployment with answers that break off and come late
    And callers look up bays 90 times a second
    When during that, <fault>
    And 12 seconds pass
    Then every promise was kept
    And most look-ups were answered

    Examples:
      | fault                                                            |
      | nothing fails                                                    |
      | load reports mislead                                             |
      | an entry dies                                                    |
      | a region fails                                                   |
      | control is cut off in silence                                    |
      | an entry is cut off in silence                                   |
      | the leader changes and also two entries die                      |

  Scenario Outline: A reservation runs at most once
    Given the Lankaspark deployment with answers that break off and come late
    And callers reserve 20 times a second and resend through other entries
    When during that, <fault>
    And 15 seconds pass
    Then every promise was kept
    And resends were answered alike

    Examples:
      | fault                                                            |
      | nothing fails                                                    |
      | an entry dies                                                    |
      | two entries die                                                  |
      | a region fails                                                   |
      | control is cut off in silence                                    |
      | control is heard by nobody                                       |
      | the leader changes                                               |
      | an entry is cut off in silence                                   |
      | control is cut off in silence and also an entry dies             |

  Scenario Outline: An upstream that is leaving receives no new work after a few seconds
    Given the Lankaspark deployment
    And callers look up bays 150 times a second
    When an upstream of bays leaves, as said by <signal> only
    And during that, <fault>
    And 20 seconds pass
    Then the upstream received nothing new 4 seconds after that
    And every promise was kept

    Examples:
      | signal          | fault                                         |
      | the operator    | nothing fails                                 |
      | the operator    | an entry dies                                 |
      | the operator    | the leader changes                            |
      | the operator    | an entry restarts after hundreds of changes   |
      | the operator    | a region fails                                |
      | its answers     | nothing fails                                 |
      | its answers     | control is cut off in silence                 |
      | its answers     | the leader changes and also an entry dies     |
      | its health      | nothing fails                                 |
      | its health      | control is cut off in silence                 |
      | a flipping list | nothing fails                                 |
      | a flipping list | control is cut off in silence                 |

  Scenario Outline: A planned stop cuts off no request in flight
    Given the Lankaspark deployment
    And callers look up bays 150 times a second
    When entry e2 stops as planned
    And during that, <fault>
    And 15 seconds pass
    Then e2 ended and no call through it broke off
    And every promise was kept

    Examples:
      | fault                                                            |
      | nothing fails                                                    |
      | load reports stop                                                |
      | control is cut off in silence                                    |
      | the leader changes                                               |
      | an entry is cut off in silence                                   |
      | operators race and resend                                        |

  Scenario Outline: An accepted configuration is in force everywhere in seconds and never reverts
    Given the Lankaspark deployment
    And callers look up bays 20 times a second
    When during that, <fault>
    And an operator changes the configuration every second
    And 20 seconds pass
    Then no entry ever applied an older revision than it had
    And the last change is in force at every live entry 5 seconds later
    And every promise was kept

    Examples:
      | fault                                                            |
      | nothing fails                                                    |
      | an entry dies                                                    |
      | two entries die                                                  |
      | a region fails                                                   |
      | control is cut off in silence                                    |
      | control is heard by nobody                                       |
      | the leader changes                                               |
      | an entry is cut off in silence                                   |
      | operators race and resend                                        |
      | an entry restarts after hundreds of changes                      |
      | a region fails and also operators race and resend                |
