"""Tests of the generated reference page of constants."""

from testing.constants import PAGE, read_constants, write_page


class TestPage:
    def test_it_matches_the_code(self) -> None:
        # If this fails, `python -m testing.constants` writes the page again.
        assert PAGE.read_text() == write_page()

    def test_every_platform_constant_has_a_comment(
        self,
    ) -> None:
        parts = ("core/fleet/", "core/serving/", "app/f", "app/engine_")
        without_comment = [
            f"{constant.module}: {constant.name}"
            for constant in read_constants()
            if constant.module.startswith(parts) and not constant.comment
        ]
        assert not without_comment
