"""The benchmark of the feed's bytes keeps up with the messages, and with the bound on a node."""

import msgspec

from bench.feed import main, make_feed

# What control may take of a node's network, in KB a second.
MOST_KB_PER_S = 8.0


def test_the_table_is_printed_and_stays_below_the_bound(capsys):
    main()
    rows = [line.split() for line in capsys.readouterr().out.splitlines()[1:]]
    assert [row[0] for row in rows] == ["12", "100", "1300"]
    assert all(float(row[5]) <= MOST_KB_PER_S for row in rows)


def test_an_answer_in_calm_is_small():
    assert len(msgspec.msgpack.encode(make_feed(0, news=False))) < 128
