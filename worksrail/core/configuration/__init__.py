"""The configuration in force: generations that only increase."""

from worksrail.core.configuration._generations import (
    Configuration,
    HeadVerdict,
    drains_from_targets,
)

__all__ = ('Configuration', 'HeadVerdict', 'drains_from_targets')
