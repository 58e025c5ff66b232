import unittest

from damasktide.runtime.registry import Registry


class RegistryTest(unittest.TestCase):
    def test_second_registration_of_a_key_is_an_error(self) -> None:
        """Guards against one policy silently replacing another."""
        registry: Registry[str, int] = Registry("policy")
        registry.register("a")(1)
        with self.assertRaisesRegex(ValueError, "policy 'a' is registered twice"):
            registry.register("a")(2)

    def test_unknown_key_lists_the_known_ones(self) -> None:
        """Guards against an error message that does not name the valid keys."""
        registry: Registry[str, int] = Registry("policy")
        registry.register("a")(1)
        with self.assertRaisesRegex(KeyError, "known: a"):
            registry.get("b")


if __name__ == "__main__":
    unittest.main()
