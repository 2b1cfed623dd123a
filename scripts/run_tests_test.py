"""Tests of run_tests.py."""
import pathlib, tempfile, unittest

import run_tests

TARGETS = {
    "one": [("lib", "one"), ("test", "rules"), ("test", "more")],
    "two": [("bin", "two"), ("test", "rules")],
}


def read(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "KNOWN-RED.txt"
        path.write_text(text)
        return run_tests.read_listed(path)


class RunTests(unittest.TestCase):
    def test_an_entry_names_one_test_of_one_target(self):
        listed = read("# head\nsoak `x` | seen | 1\ntest one rules a_b | seen | 1\n")
        self.assertEqual(dict(listed), {("one", "rules"): ["a_b"]})

    def test_an_entry_without_a_target_is_an_error(self):
        with self.assertRaises(SystemExit):
            read("test a_b | seen | 1\n")

    def test_all_is_run_at_once_if_no_test_is_listed(self):
        self.assertEqual(list(run_tests.commands({}, TARGETS)), [["--workspace"]])

    def test_only_the_listed_test_is_passed_over(self):
        listed = {("one", "rules"): ["a_b"]}
        self.assertEqual(
            list(run_tests.commands(listed, TARGETS)),
            [
                ["--workspace", "--exclude", "one"],
                ["-p", "one", "--lib", "--test", "more"],
                ["-p", "one", "--doc"],
                ["-p", "one", "--test", "rules", "--", "--exact", "--skip", "a_b"],
            ],
        )


if __name__ == "__main__":
    unittest.main()
