"""Plug-in registry; plug-ins register themselves when their module is imported."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from importlib.metadata import entry_points
from typing import Generic, TypeVar

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import PollenkeelError, Refusal

T = TypeVar("T")


class Registry(Generic[T]):
    """Named plug-in classes of one kind.

    Parameters
    ----------
    group : str
        Entry-point group whose modules are imported before the first look-up.
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self._loaded = False
        self._modules_by_name: dict[str, str] = {}
        self._plugins_by_name: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Return a class decorator that registers a plug-in.

        Parameters
        ----------
        name : str
            Name used in settings and configuration.
        """

        def decorate(plugin: type[T]) -> type[T]:
            self._plugins_by_name[name] = plugin
            return plugin

        return decorate

    def add_module(self, name: str, module: str) -> None:
        """Name the module that registers a plug-in, to import it only if it is used."""
        self._modules_by_name[name] = module

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        self._load()
        return sorted({*self._plugins_by_name, *self._modules_by_name})

    def get(self, name: str) -> type[T]:
        """Return the plug-in class with a name.

        Raises
        ------
        PollenkeelError
            Code 4005 if no plug-in has this name; the message lists the choices.
        """
        if name in self._modules_by_name:
            import_module(self._modules_by_name[name])
        if name in self._plugins_by_name:
            return self._plugins_by_name[name]
        self._load()
        if name not in self._plugins_by_name:
            choices = ", ".join(sorted(self._plugins_by_name))
            raise PollenkeelError(
                Refusal(
                    Code.BAD_SETTINGS,
                    f"unknown {self.group} plug-in {name!r}; choices: {choices}",
                )
            )
        return self._plugins_by_name[name]

    def _load(self) -> None:
        if self._loaded:
            return
        self._loaded = True
        for entry_point in entry_points(group=self.group):
            entry_point.load()
