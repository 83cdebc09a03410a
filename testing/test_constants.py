"""Tests of the page of named figures."""

from testing.constants import PAGE, read_constants, write_page


class TestPage:
    def test_it_says_what_the_code_says(self) -> None:
        # `python -m testing.constants` writes it anew.
        assert PAGE.read_text() == write_page()

    def test_every_figure_on_the_platform_says_where_it_comes_from(
        self,
    ) -> None:
        parts = ("core/fleet/", "core/serving/", "app/f", "app/engine_")
        bare = [
            f"{constant.module}: {constant.name}"
            for constant in read_constants()
            if constant.module.startswith(parts) and not constant.comment
        ]
        assert not bare
