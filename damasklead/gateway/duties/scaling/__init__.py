"""
Scaling
=======

Orders the replicas of scaled services.  ``demand``, ``mix``, ``orders`` and ``planner``
make the decisions and do no I/O; ``load_reports`` brings the demand to the holder of
the duties, ``duty`` calls the platform's API.
"""
