def live():
    return 1


def main(picture):
    return 1
